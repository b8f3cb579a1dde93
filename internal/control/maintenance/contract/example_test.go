package contract_test

import (
	"fmt"
	"time"

	"dunestep/internal/control/maintenance/contract"
)

func Example() {
	c, err := contract.Table{
		Zone:            "Europe/Bucharest",
		Hours:           []string{"mon-fri 20:00-06:00", "sat,sun 00:00-24:00"},
		Excluded:        []string{"2026-12-25"}, // a Friday
		ExcludeDayAfter: true,
	}.Contract()
	if err != nil {
		fmt.Println(err)
		return
	}
	at := func(text string) time.Duration {
		t, _ := time.Parse(time.RFC3339, text)
		return time.Duration(t.UnixNano())
	}
	show := func(label string, at time.Duration) {
		fmt.Println(label, c.InZone(at).Format("Mon 2006-01-02 15:04 MST"))
	}

	fmt.Println(c.Allows(at("2026-10-20T19:00:00Z")), c.Allows(at("2026-12-25T19:00:00Z")))
	from, to, _ := c.NextRun(at("2026-10-23T12:00:00Z"))
	show("from", from)
	show("to", to)
	fmt.Println(to - from) // includes the night on which clocks go back
	from, _, _ = c.NextRun(at("2026-12-25T12:00:00Z"))
	show("after the holiday, from", from)

	_, err = contract.Table{Zone: "Europe/Bucharest", Hours: []string{"weekdays 20:00-06:00"}}.Contract()
	fmt.Println(err)
	// Output:
	// true false
	// from Fri 2026-10-23 20:00 EEST
	// to Mon 2026-10-26 00:00 EET
	// 53h0m0s
	// after the holiday, from Sun 2026-12-27 00:00 EET
	// hours[0]: "weekdays 20:00-06:00" must be as in mon-fri 20:00-06:00 or sat,sun 00:00-24:00
}
