package org.hawthornglade.core.id;

import java.util.regex.Pattern;

/** Validates textual ids and names. */
final class Ids {
    private static final Pattern VALID = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");

    private Ids() {}

    static void check(String kind, String value) {
        if (value == null || !VALID.matcher(value).matches()) {
            throw new IllegalArgumentException("not a valid " + kind + ": " + abbreviate(value));
        }
    }

    private static String abbreviate(String value) {
        if (value == null || value.length() <= 40) {
            return "'" + value + "'";
        }
        return "'" + value.substring(0, 40) + "...'";
    }
}
