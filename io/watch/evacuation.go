package watch

import "rosemarywalk/core/evacuation"

// Evacuated returns the failure domains that are known to be evacuated.
func (w *Watcher) Evacuated() evacuation.Domains {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.evacuated
}

// OfferEvacuated makes d the evacuated failure domains if it is newer. The source, from, is
// logged.
func (w *Watcher) OfferEvacuated(d evacuation.Domains, from string) {
	w.updateEvacuated(from, func(known evacuation.Domains) evacuation.Domains { return known.WithNewer(d) })
}

// readEvacuations applies the evacuations on a page from the store.
func (w *Watcher) readEvacuations(page ConfigPage) {
	if page.Full {
		var names []string
		for _, c := range page.Evacuations {
			if c.Evacuated {
				names = append(names, c.Domain)
			}
		}
		w.OfferEvacuated(evacuation.New(page.Position, names), "store")
		return
	}
	w.updateEvacuated("store", func(known evacuation.Domains) evacuation.Domains { return known.WithChanges(page.Evacuations) })
}

// updateEvacuated replaces the evacuated failure domains by what update makes of them, and
// passes on the backend servers if others may be used now.
func (w *Watcher) updateEvacuated(from string, update func(evacuation.Domains) evacuation.Domains) {
	if !w.evacuates {
		return
	}
	w.mu.Lock()
	old, read := w.evacuated, w.serversRead
	w.evacuated = update(old)
	current := w.evacuated
	w.mu.Unlock()
	if current.Same(old) {
		return
	}
	for _, name := range current.Names() {
		if !old.Has(name) {
			w.log.Info("failure domain evacuated", "domain", name, "position", current.Position(), "from", from)
		}
	}
	for _, name := range old.Names() {
		if !current.Has(name) {
			w.log.Info("failure domain no longer evacuated", "domain", name, "position", current.Position(), "from", from)
		}
	}
	w.onEvacuated(len(current.Names()))
	if read {
		w.notifyServers()
	}
}
