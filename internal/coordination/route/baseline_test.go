package route

import (
	"net/netip"
	"time"
)

func (tr *trimmed) chain(now time.Time, caller netip.AddrPort) Chain {
	ch := tr.tableView.chain(now, caller)
	ch.Count = min(ch.Count, 1)
	ch.Asked = ch.Count
	return ch
}
