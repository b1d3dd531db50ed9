package bed

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"

	"rosemarywalk/platform/wire"
)

// limitRows refuses transactions with a row of more bytes than the store takes. A limit of 0
// refuses none.
func limitRows(limit int, record *Record, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limit == 0 || r.URL.Path != "/-/rows-tx" {
			next.ServeHTTP(w, r)
			return
		}
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var tx wire.Tx
		_ = json.Unmarshal(raw, &tx)
		for _, put := range tx.Puts {
			if n := base64.StdEncoding.DecodedLen(len(put.Value)); n > limit {
				record.Add("the store refuses row %s of table %s: %d bytes", put.Key, put.Table, n)
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		r.Body = io.NopCloser(bytes.NewReader(raw))
		next.ServeHTTP(w, r)
	})
}
