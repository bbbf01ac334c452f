package org.hawthornglade.gateway.exchange;

/** The id of an event of a stream. */
record EventId(String text) {
    /** Removes the blanks around the id: not all readers keep them. */
    EventId {
        text = text.trim();
    }

    /** Returns whether this id says where in its stream an event is; an empty one doesn't. */
    boolean known() {
        return !text.isEmpty();
    }

    /**
     * Returns whether an event with this id may follow the one with the given id.
     *
     * <p>Numbers of any length are compared by value. No order is known of other ids: only the same id again is
     * certainly not a later event.
     */
    boolean mayFollow(EventId last) {
        if (isNumber() && last.isNumber()) {
            return compareNumbers(text, last.text) > 0;
        }
        return !text.equals(last.text);
    }

    private boolean isNumber() {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') {
                return false;
            }
        }
        return true;
    }

    private static int compareNumbers(String a, String b) {
        int startA = leadingZeros(a);
        int startB = leadingZeros(b);
        int byLength = Integer.compare(a.length() - startA, b.length() - startB);
        return byLength != 0 ? byLength : a.substring(startA).compareTo(b.substring(startB));
    }

    private static int leadingZeros(String number) {
        int zeros = 0;
        while (zeros < number.length() && number.charAt(zeros) == '0') {
            zeros++;
        }
        return zeros;
    }
}
