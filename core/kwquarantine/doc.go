// Package kwquarantine decides which parts of prompts, and which requests, are kept from servers because servers crash under them.
//
// A request that had received no more than one event when a server of its chain crashed is evidence against all shared parts of its
// prompt, and makes them suspects. A sound request, one whose server has gone on after the beginning of its answer, clears its parts.
// A part is implicated once enough processes have crashed under it since its last sound request, not all of them under one request, and
// settled once all entries have had the time to report sound requests. The leader's Registry then quarantines the settled part with the
// oldest sound request, together with the parts that came with it each time, until a crash or a sound request tells them apart; the crashes under it are explained, and no longer count against other parts or requests.
//
// A request itself is known again by its digest. It is held once enough processes have crashed under it since its last sound run, an
// answer that its server has outlived. The crashes under it are explained for other requests, and for all parts but its own.
//
// After a term, one request of the whole fleet is a trial: if it is sound the quarantine or the hold ends, if it crashes a server the
// term doubles.
//
// The Guard of each entry knows the suspects, quarantines and holds of the leader's view, and remembers when each part and each request
// was last sound. While it is cut off from the leader it holds requests by itself.
package kwquarantine
