package standin

import (
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"samphireplank.example/samphireplank/store"
)

func (p *Platform) serveKey(ctx *fasthttp.RequestCtx, escaped string) {
	key, err := url.PathUnescape(escaped)
	if err != nil || key == "" {
		ctx.Error("malformed key", fasthttp.StatusBadRequest)
		return
	}
	switch {
	case ctx.IsGet() && ctx.QueryArgs().Has("not-version"):
		p.serveWatch(ctx, key)
	case ctx.IsGet():
		p.serveGet(ctx, key)
	case ctx.IsPut() || ctx.IsDelete():
		p.serveWrite(ctx, key)
	default:
		ctx.Error("method not allowed", fasthttp.StatusBadRequest)
	}
}

func (p *Platform) serveGet(ctx *fasthttp.RequestCtx, key string) {
	p.reads.Add(1)
	value, err := p.memory.Get(ctx, key)
	if err != nil {
		ctx.Error(err.Error(), writeStatus(err))
		return
	}
	sendValue(ctx, value)
}

func (p *Platform) serveWrite(ctx *fasthttp.RequestCtx, key string) {
	p.writes.Add(1)
	version, err := strconv.ParseUint(string(ctx.Request.Header.Peek(store.HeaderIfVersion)), 10, 64)
	if err != nil {
		ctx.Error("missing or malformed "+store.HeaderIfVersion, fasthttp.StatusBadRequest)
		return
	}
	if ctx.IsDelete() {
		err = p.memory.Delete(ctx, key, version)
	} else {
		version, err = p.memory.CompareAndSwap(ctx, key, version, ctx.PostBody())
	}
	if err != nil {
		p.conflicts.Add(1)
		ctx.Error(err.Error(), writeStatus(err))
		return
	}
	setVersion(ctx, version)
	p.finishWrite(ctx)
}

func (p *Platform) serveWatch(ctx *fasthttp.RequestCtx, key string) {
	p.watches.Add(1)
	version, wait, err := pollArgs(ctx)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	polling, cancel := p.poll(wait)
	defer cancel()
	began := time.Now()
	value, err := p.memory.Watch(polling, key, version)
	for err == nil && value.Version != version && waited(began) && p.draw(p.Faults().MissEvent) {
		p.missedEvents.Add(1)
		missed := value.Version
		if value, err = p.memory.Watch(polling, key, missed); value.Version == missed {
			value.Version = version
		}
	}
	switch {
	case err != nil:
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	case value.Version == version:
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	case value.Version == 0:
		ctx.Error(store.ErrNotFound.Error(), fasthttp.StatusNotFound)
	default:
		sendValue(ctx, value)
	}
}

// waited tells an event that arrived during the poll, which a watch may miss, from the state at its beginning.
func waited(began time.Time) bool { return time.Since(began) > time.Millisecond }

func (p *Platform) serveList(ctx *fasthttp.RequestCtx) {
	p.lists.Add(1)
	version, wait, err := pollArgs(ctx)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	polling, cancel := p.poll(wait)
	defer cancel()
	list, err := p.memory.VMs(polling, version)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	if list.Version == version {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	list.VMs = filter(list.VMs, string(ctx.QueryArgs().Peek("zone")), string(ctx.QueryArgs().Peek("role")))
	sendJSON(ctx, list)
}

func filter(vms []store.VM, zone, role string) []store.VM {
	kept := make([]store.VM, 0, len(vms))
	for _, vm := range vms {
		if (zone == "" || vm.Zone == zone) && (role == "" || string(vm.Role) == role) {
			kept = append(kept, vm)
		}
	}
	return kept
}

// pollArgs reads the version and the wait of a long poll; without them the call answers at once.
func pollArgs(ctx *fasthttp.RequestCtx) (version uint64, wait time.Duration, err error) {
	if text := ctx.QueryArgs().Peek("not-version"); len(text) > 0 {
		if version, err = strconv.ParseUint(string(text), 10, 64); err != nil {
			return 0, 0, err
		}
	}
	if text := ctx.QueryArgs().Peek("wait-ms"); len(text) > 0 {
		ms, err := strconv.ParseUint(string(text), 10, 31)
		if err != nil {
			return 0, 0, err
		}
		wait = min(time.Duration(ms)*time.Millisecond, maxWait)
	}
	return version, wait, nil
}

func (p *Platform) admin(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == "/admin/faults" && ctx.IsPut():
		var faults PlatformFaults
		if err := strictJSON(ctx.PostBody(), &faults); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		p.SetFaults(faults)
	case path == "/admin/faults" && ctx.IsGet():
		sendJSON(ctx, p.Faults())
	case path == "/admin/counts" && ctx.IsGet():
		sendJSON(ctx, p.Counts())
	default:
		ctx.Error("no such admin path or method", fasthttp.StatusNotFound)
	}
}

func sendValue(ctx *fasthttp.RequestCtx, value store.Value) {
	setVersion(ctx, value.Version)
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(value.Data)
}

func sendJSON(ctx *fasthttp.RequestCtx, content any) {
	body, err := json.Marshal(content)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
