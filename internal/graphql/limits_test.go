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
	body, _ := encodeRequest(page, "AvailableAppointments")
	return strings.TrimSuffix(body, "}") + `,"variables":{"clinicId":"c-1","firstDay":"2026-12-01","lastDay":"2026-12-08"}}`
}

// expensiveRequests returns requests of up to 64 KiB that would take excessive work to process, with the
// code of the error that each is refused with; empty if the code does not matter.
func expensiveRequests() map[string]struct {
	body, want string
} {
	const maxLength = 64<<10 - 100
	fill := func(s string) string { return strings.Repeat(s, maxLength/len(s)) }
	doc := func(s string) string { body, _ := encodeRequest(s, "-"); return body }
	small := func(s string) string { return strings.Repeat(s, (16<<10-100)/len(s)) }
	nested := func(s string) string {
		return `{"query":"mutation{a}","variables":` + strings.Repeat(`{"a":`, 60) + s + strings.Repeat("}", 61)
	}
	doubling := "{...F0}"
	for i := range 60 {
		doubling += fmt.Sprintf("fragment F%d on Q{a:x ...F%d ...F%d}", i, i+1, i+1)
	}
	doubling += "fragment F60 on Q{a:x}"
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
		"fragments that double":       {doc(doubling), CodeLimit},
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

func TestExpensiveRequests(t *testing.T) {
	r := testRules()
	c := newTestClassifier(t, r)
	for name, request := range expensiveRequests() {
		require.LessOrEqual(t, len(request.body), 64<<10, name)
		got := classOrCode(c.Classify(post(request.body)))
		if request.want != "" {
			require.Equal(t, request.want, got, name)
		}
		require.NotEqual(t, "consult", got, name)
	}
	// Each level of nested objects is split again, so isPlain accepts only a few levels.
	require.True(t, isPlain([]byte(`{"input":{"clinicId":"c-1"}}`)))
	require.False(t, isPlain([]byte(`{"a":{"a":{"a":1}}}`)))
	// Documents exactly at or just below a limit are accepted.
	for _, document := range []string{
		strings.Repeat("{a", 30) + strings.Repeat("}", 30), "{" + strings.Repeat("a:b ", 100) + "}",
		"{" + strings.Repeat("a ", 990) + "}",
	} {
		body, _ := encodeRequest(document, "-")
		require.Equal(t, "consult", classOrCode(c.Classify(post(body))))
	}
}

func BenchmarkClassify(b *testing.B) {
	body := pageBody()
	r := testRules()
	r.Limits.CacheBytes = 0
	b.Run("read", func(b *testing.B) { benchmark(b, r, body) })
	b.Run("cached", func(b *testing.B) { benchmark(b, testRules(), body) })
	b.Run("document/read", func(b *testing.B) {
		b.ReportAllocs()
		c := newTestClassifier(b, r)
		for b.Loop() {
			_, _ = c.parse(page)
		}
	})
	b.Run("document/cached", func(b *testing.B) {
		b.ReportAllocs()
		c, literal := newTestClassifier(b, testRules()), quote(page)
		for b.Loop() {
			_, _ = c.readDocument(literal)
		}
	})
}

func BenchmarkExpensiveRequests(b *testing.B) {
	for name, request := range expensiveRequests() {
		b.Run(name, func(b *testing.B) { benchmark(b, testRules(), request.body) })
	}
}

func benchmark(b *testing.B, r Rules, body string) {
	b.ReportAllocs()
	c, request := newTestClassifier(b, r), post(body)
	for b.Loop() {
		_, _ = c.Classify(request)
	}
}
