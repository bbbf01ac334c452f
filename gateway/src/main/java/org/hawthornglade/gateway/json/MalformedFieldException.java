package org.hawthornglade.gateway.json;

/** Reports a field of a JSON object that is missing or has the wrong type. */
public final class MalformedFieldException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the report.
     *
     * @param field the name of the field
     * @param expected what the field should be
     */
    MalformedFieldException(String field, String expected) {
        super(field + " is not " + expected);
    }
}
