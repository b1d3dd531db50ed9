package main

// mutations disable the mechanisms that the proofs depend on.
var mutations = []mutation{
	{
		name: "ledger forgets used tickets",
		edits: []edit{{
			file: "core/job/model.go",
			old:  "if !ledger.MarkUsed(msg.ID.Sequence) {",
			with: "if !ledger.MarkUsed(msg.ID.Sequence) && m.running[msg.ID] == nil && m.records[msg.ID] == nil {",
		}},
		proof: "TestHoldStartsOnce/resubmitted",
	},
	{
		name: "anybody starts an unreachable owner's ticket",
		edits: []edit{
			{
				file: "core/job/model.go",
				old:  "		return reply(msg.ID, Failed(core.RanMaybe, core.ReasonLost))",
				with: "		ledger = ticket.NewLedger()\n		m.ledgers[msg.ID.Incarnation] = ledger",
			},
			{
				file: "io/caller/service.go",
				old:  "			return s.handleFailedCall(ctx, address)",
				with: "			return s.serveLocal(ctx, t, call)",
			},
		},
		proof: "TestHoldStartsOnce/owner_(killed|frozen)",
	},
	{
		name: "no hand-over at a planned stop",
		edits: []edit{{
			file: "io/drain/plugin.go",
			old:  "	s.handOver(ctx)\n",
			with: "",
		}},
		proof: "TestHoldStartsOnce/planned_stop",
	},
	{
		name: "hand-over goes on to a second peer",
		edits: []edit{{
			file: "io/drain/handover.go",
			old:  "		sleep(ctx, retryDelay)\n",
			with: "		sleep(ctx, retryDelay)\n		to = s.Fleet.Successors()[1].Address\n",
		}},
		proof: "TestHoldStartsOnce/hand-over",
	},
	{
		name: "unclear claim is taken for one's own",
		edits: []edit{{
			file: "io/claim/claimer.go",
			old:  "	for range maxRewrites {",
			with: "	if errors.Is(v.err, platform.ErrUnknownOutcome) {\n		return fresh, nil\n	}\n	for range maxRewrites {",
		}},
		proof: "TestHoldStartsOnce/idempotency_key_with_the_platform_losing",
	},
	{
		name: "keyed submission refused as not run",
		edits: []edit{{
			file: "io/caller/http.go",
			old:  "failedResponse(job.Failed(core.RanMaybe, core.ReasonStore))",
			with: "failedResponse(job.Failed(core.RanNo, core.ReasonStore))",
		}},
		proof: "TestHoldStartsOnce/idempotency_key_with_the_platform_down|TestHoldNotRunUnlessKnown",
	},
	{
		name: "a failed task counts as answered",
		edits: []edit{{
			file: "core/job/model.go",
			old:  "		return m.failTask(now, msg)",
			with: "		return m.answer(now, AnswerMsg{ID: msg.ID, Index: msg.Index})",
		}},
		proof: "TestHoldCompleteOrFailed/server_fails",
	},
	{
		name: "an answer without a length is taken",
		edits: []edit{{
			file: "io/executor/client.go",
			old:  "if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {",
			with: "if false {",
		}},
		proof: "TestHoldCompleteOrFailed/answers_cut_halfway_without",
	},
	{
		name: "another task's answer is taken",
		edits: []edit{{
			file: "io/executor/client.go",
			old:  `if echo := response.Header.Get(HeaderTask); echo != "" && echo != t.Name {`,
			with: "if false {",
		}},
		proof: "TestHoldCompleteOrFailed/answers_crossed",
	},
	{
		name: "no ejection",
		edits: []edit{{
			file: "core/health/server.go",
			old:  "	s.ejected = true",
			with: "	s.ejected = false",
		}},
		proof: "TestHoldFailingServerEjected",
	},
	{
		name: "an answer over the limit is cut",
		edits: []edit{{
			file: "io/executor/client.go",
			old:  "int64(c.limits.Answer)+1",
			with: "int64(1<<20)",
		}},
		proof: "TestHoldWholeAnswer/answers_larger",
	},
	{
		name: "answers are kept in order of arrival",
		edits: []edit{{
			file: "core/job/model.go",
			old:  "	r.answers[msg.Index] = msg.Answer",
			with: "	r.answers[len(r.answers)-r.missing] = msg.Answer",
		}},
		proof: "TestHoldWholeAnswer/connections",
	},
	{
		name: "tasks are queued before the refusal",
		edits: []edit{{
			file: "io/dispatch/dispatcher.go",
			old:  "	case d.draining.Load():\n		return core.ReasonDraining",
			with: "	case d.draining.Load():\n		d.sender.Send(context.Background(), executor.Task{Address: \"127.0.0.1:1\", Service: sub.Service})\n		d.draining.Store(false)\n		return \"\"",
		}},
		proof: "TestHoldNotRun/draining",
	},
	{
		name: "every lost connection counts as not reached",
		edits: []edit{{
			file: "io/executor/client.go",
			old:  "	case reached:\n		return reply(place.Interrupted, core.ReasonReset)",
			with: "	case false:",
		}},
		proof: "TestHoldNonIdempotentOnce",
	},
	{
		name: "every request counts as idempotent",
		edits: []edit{{
			file: "io/caller/submission.go",
			old:  "Idempotent:  !atMostOnce,",
			with: "Idempotent:  true || atMostOnce,",
		}},
		proof: "TestHoldNonIdempotentOnce",
	},
	{
		name: "no retry budget",
		edits: []edit{{
			file: "core/retry/budget.go",
			old:  "	if b.tokens < 1 {",
			with: "	if b.tokens < -1000 {",
		}},
		proof: "TestHoldNonIdempotentOnce",
	},
	{
		name: "leaving servers stay in use",
		edits: []edit{{
			file: "core/place/server.go",
			old:  "if b.Leaving || b.outstanding >= connections {",
			with: "if b.outstanding >= connections {",
		}},
		proof: "TestHoldLeaving/listed",
	},
	{
		name: "host lists don't travel between hosts",
		edits: []edit{{
			file: "io/member/fleet.go",
			old:  "if b.Listing > f.directory.Revision() || b.Print != f.rows.Print() {",
			with: "if b.Print != f.rows.Print() {",
		}},
		proof: "TestHoldLeaving/one_host",
	},
	{
		name: "a stop doesn't wait for running jobs",
		edits: []edit{{
			file: "io/dispatch/fleet.go",
			old:  "	if d.idle(ctx) {",
			with: "	if false {",
		}},
		proof: "TestHoldPlannedStop",
	},
	{
		name: "a stop closes callers' connections",
		edits: []edit{{
			file: "io/drain/plugin.go",
			old:  "!s.Caller.Drain(ctx)",
			with: "false",
		}},
		proof: "TestHoldSlowCaller",
	},
	{
		name: "a stop has no limit",
		edits: []edit{{
			file: "io/drain/plugin.go",
			old:  "context.WithTimeout(ctx, s.limit)",
			with: "context.WithTimeout(ctx, 100*s.limit)",
		}},
		proof: "TestHoldDrainLimit",
	},
	{
		name: "configuration rows don't travel between hosts",
		edits: []edit{{
			file: "io/member/fleet.go",
			old:  "if b.Listing > f.directory.Revision() || b.Print != f.rows.Print() {",
			with: "if b.Listing > f.directory.Revision() {",
		}},
		proof: "TestHoldConfiguration/platform_down",
	},
	{
		name: "booked dates are ignored",
		edits: []edit{{
			file: "core/document/model.go",
			old:  "		if now.Before(e.Active) {",
			with: "		if false {",
		}},
		proof: "TestHoldConfiguration/at_the_booked",
	},
	{
		name: "the last booking wins a race",
		edits: []edit{{
			file: "io/config/booker.go",
			old:  "	case errors.Is(err, platform.ErrConflict):\n",
			with: "	case errors.Is(err, platform.ErrConflict) && s.Version == 1:\n		s.Version = 0\n		return b.book(ctx, s, author)\n	case errors.Is(err, platform.ErrConflict):\n",
		}},
		proof: "TestHoldConfiguration/operators_race",
	},
	{
		name: "an unclear booking is booked again",
		edits: []edit{{
			file: "io/config/booker.go",
			old:  "		return b.confirmWrite(ctx, key, s.Team, change)",
			with: "		return b.book(ctx, s, author)",
		}},
		proof: "TestHoldConfiguration/platform_loses",
	},
	{
		name: "a stale row replaces a newer one",
		edits: []edit{
			{
				file: "core/document/model.go",
				old:  "	if r.Latest().Version > m.records[r.Team].Latest().Version {",
				with: "	if true {",
			},
			{
				file: "core/document/model.go",
				old:  "		if e.Version <= current {",
				with: "		if e.Version == current {",
			},
		},
		pkg:   "./core/document",
		proof: "TestModelNeverReverts",
	},
	{
		name: "every host uses the whole quota",
		edits: []edit{{
			file: "io/member/quota.go",
			old:  "quota.Divide(n, holders)[self]",
			with: "max(n, quota.Divide(n, holders)[self])",
		}},
		proof: "TestHoldQuota",
	},
	{
		name: "no tickets without the home",
		edits: []edit{{
			file: "io/caller/service.go",
			old:  "	if tickets, ok := s.cache.take(ctx, address, service, n); ok {\n		return tickets, nil\n	}\n	return s.issueTickets(n)",
			with: "	tickets, _ := s.cache.take(ctx, address, service, n)\n	return tickets, errors.New(\"no home\")",
		}},
		proof: "TestHoldServesWithoutHome/killed",
	},
	{
		name: "an unreachable home is asked for ever",
		edits: []edit{{
			file: "io/caller/cache.go",
			old:  "	c.backoffUntil[address] = time.Now().Add(unreachableBackoff)\n",
			with: "	return\n",
		}},
		proof: "TestHoldServesWithoutHome/cut_off",
	},
	{
		name: "a client keeps the tickets of a host that is gone",
		edits: []edit{{
			file: "io/client/client.go",
			old:  "	if isOwnerGone(o.Reason) {",
			with: "	if o.Reason == core.ReasonDraining {",
		}},
		pkg:   "./io/client",
		proof: "TestTicketsOfAGoneHost",
	},
	{
		name: "every host uses all connections",
		edits: []edit{{
			file: "core/home/choose.go",
			old:  "	if _, every := s.(Host); every {\n		return 1 / float64(hosts)",
			with: "	if _, every := s.(Host); every {\n		return 1",
		}},
		proof: "TestHoldConnections/home_is_the_host",
	},
	{
		name: "a home uses all connections",
		edits: []edit{{
			file: "core/home/choose.go",
			old:  "		return homePart / float64(homesAtOnce*homes)",
			with: "		return 1",
		}},
		proof: "TestHoldConnections/home_is_the_fleet",
	},
}
