package graphql

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// page is a document of 1 KB, as a booking page sends it.
const page = `# The booking page: what is free at a clinic on a day, and what this patient has booked already.
query AvailableAppointments($clinicId: ID!, $firstDay: Date!, $lastDay: Date!, $treatment: TreatmentCode) {
  clinic(clinicId: $clinicId) {
    displayName
    openingHours(firstDay: $firstDay, lastDay: $lastDay) { weekday opensAt closesAt }
    address { ...AddressParts }
  }
  availableAppointments(clinicId: $clinicId, firstDay: $firstDay, lastDay: $lastDay, treatment: $treatment) {
    appointmentId
    startsAt
    durationMinutes
    treatmentRoom { roomNumber floorName }
    practitioner { practitionerId displayName qualifications specialisations }
    price { amountInBani currencyCode insuranceCoverage }
  }
  myAppointments(status: CONFIRMED, orderBy: STARTS_AT) {
    appointmentId
    startsAt
    cancellationAllowedUntil
    practitioner { displayName }
  }
}

fragment AddressParts on PostalAddress { streetAddress postalCode cityName countryCode }
`

func pageBody() string {
	body, _ := ask(page, "AvailableAppointments")
	return strings.TrimSuffix(body, "}") + `,"variables":{"clinicId":"c-1","firstDay":"2026-12-01","lastDay":"2026-12-08"}}`
}

// bombs are requests of up to 64 KiB that ask for more work than they are worth, by what they are refused
// with.
func bombs() map[string]struct {
	body, want string
} {
	const room = 64<<10 - 100
	fill := func(s string) string { return strings.Repeat(s, room/len(s)) }
	doc := func(s string) string { body, _ := ask(s, "-"); return body }
	small := func(s string) string { return strings.Repeat(s, (16<<10-100)/len(s)) }
	nested := func(s string) string {
		return `{"query":"mutation{a}","variables":` + strings.Repeat(`{"a":`, 60) + s + strings.Repeat("}", 61)
	}
	laughs := "{...F0}"
	for i := range 60 {
		laughs += fmt.Sprintf("fragment F%d on Q{a:x ...F%d ...F%d}", i, i+1, i+1)
	}
	laughs += "fragment F60 on Q{a:x}"
	return map[string]struct{ body, want string }{
		"a long document":             {doc(fill("a")), CodeLimit},
		"many tokens":                 {doc("{" + small("a ")), CodeLimit},
		"many small tokens":           {doc("{a(x:[" + small("1,") + "])}"), CodeLimit},
		"many comments":               {doc(small("#\n") + "{a}"), CodeLimit},
		"deep fields":                 {doc(strings.Repeat("{a", 400) + strings.Repeat("}", 400)), CodeLimit},
		"deeper than the parser goes": {doc(small("{a")), CodeLimit},
		"deep lists":                  {doc("{a(x:" + small("[")), CodeLimit},
		"many aliases":                {doc("{" + strings.Repeat("a:b ", 101) + "}"), CodeLimit},
		"many operations":             {doc(strings.Repeat("query{a}", 51)), CodeLimit},
		"fragments that double":       {doc(laughs), CodeLimit},
		"a fragment in itself":        {doc("{...A} fragment A on Q{a ...B} fragment B on Q{b ...A}"), CodeLimit},
		"many members":                {"[" + strings.TrimSuffix(fill(`{"query":"{a}"},`), ",") + "]", CodeLimit},
		"many lines of text":          {doc(`{a(x:"""` + small("\n ") + `""") ` + "{"), ""},
		"deep JSON":                   {`{"query":"{a}","variables":` + fill(`{"":`), CodeBadRequest},
		"deep lists of JSON":          {fill("["), CodeBadRequest},
		"deep extensions":             {`{"extensions":` + fill("["), CodeBadRequest},
		"numbers deep in objects":     {nested("[" + strings.Repeat("1,", 30_000) + "1]"), ""},
		"digits deep in objects":      {nested(strings.Repeat("1", 60_000)), ""},
		"many names":                  {`{` + fill(`"a":1,`) + `"b":1}`, CodeBadRequest},
		"many escapes":                {`{"query":"` + fill(`\n`) + `"}`, CodeLimit},
		"many quotes":                 {`{"query":"` + fill(`\"`) + `"}`, CodeLimit},
		"backslashes":                 {`{"query":"` + fill(`\\`) + `}`, CodeBadRequest},
	}
}

func TestBombs(t *testing.T) {
	r := rules()
	c := classer(t, r)
	for name, b := range bombs() {
		require.LessOrEqual(t, len(b.body), 64<<10, name)
		got := verdict(c.Class(post(b.body)))
		if b.want != "" {
			require.Equal(t, b.want, got, name)
		}
		require.NotEqual(t, "consult", got, name)
	}
	// Objects within objects are taken apart anew for each, so only few are.
	require.True(t, isPlain([]byte(`{"input":{"clinicId":"c-1"}}`)))
	require.False(t, isPlain([]byte(`{"a":{"a":{"a":1}}}`)))
	// Just within the limits.
	for _, document := range []string{
		strings.Repeat("{a", 30) + strings.Repeat("}", 30), "{" + strings.Repeat("a:b ", 100) + "}",
		"{" + strings.Repeat("a ", 990) + "}",
	} {
		body, _ := ask(document, "-")
		require.Equal(t, "consult", verdict(c.Class(post(body))))
	}
}

func BenchmarkClass(b *testing.B) {
	body := pageBody()
	r := rules()
	r.Limits.CacheBytes = 0
	b.Run("read", func(b *testing.B) { benchmark(b, r, body) })
	b.Run("cached", func(b *testing.B) { benchmark(b, rules(), body) })
	b.Run("document/read", func(b *testing.B) {
		b.ReportAllocs()
		c := classer(b, r)
		for b.Loop() {
			_, _ = c.parse(page)
		}
	})
	b.Run("document/cached", func(b *testing.B) {
		b.ReportAllocs()
		c, literal := classer(b, rules()), quote(page)
		for b.Loop() {
			_, _ = c.read(literal)
		}
	})
}

func BenchmarkBomb(b *testing.B) {
	for name, bomb := range bombs() {
		b.Run(name, func(b *testing.B) { benchmark(b, rules(), bomb.body) })
	}
}

func benchmark(b *testing.B, r Rules, body string) {
	b.ReportAllocs()
	c, request := classer(b, r), post(body)
	for b.Loop() {
		_, _ = c.Class(request)
	}
}
