package org.hawthornglade.gateway.json;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads typed fields of a JSON object.
 *
 * <p>A field that is missing, or has the wrong type, is reported by a {@link MalformedFieldException} which names it.
 */
public final class JsonFields {
    private JsonFields() {}

    /** Returns a text that is not empty. */
    public static String string(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual() || value.textValue().isEmpty()) {
            throw new MalformedFieldException(field, "a string");
        }
        return value.textValue();
    }

    /** Returns a text that may be empty. */
    public static String text(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new MalformedFieldException(field, "a text");
        }
        return value.textValue();
    }

    /** Returns an integer of 64 bits. */
    public static long integer(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new MalformedFieldException(field, "an integer of 64 bits");
        }
        return value.longValue();
    }

    /** Returns an integer of 32 bits. */
    public static int smallInteger(JsonNode node, String field) {
        long value = integer(node, field);
        if (value != (int) value) {
            throw new MalformedFieldException(field, "an integer of 32 bits");
        }
        return (int) value;
    }

    /** Returns an integer of 32 bits; the default if the field is missing. */
    public static int smallInteger(JsonNode node, String field, int defaultValue) {
        return node.has(field) ? smallInteger(node, field) : defaultValue;
    }

    /** Returns an integer of 64 bits; the default if the field is missing. */
    public static long integer(JsonNode node, String field, long defaultValue) {
        return node.has(field) ? integer(node, field) : defaultValue;
    }

    /** Returns a finite number; the default if the field is missing. */
    public static double number(JsonNode node, String field, double defaultValue) {
        if (!node.has(field)) {
            return defaultValue;
        }
        JsonNode value = node.path(field);
        if (!value.isNumber() || !Double.isFinite(value.doubleValue())) {
            throw new MalformedFieldException(field, "a number");
        }
        return value.doubleValue();
    }

    /** Returns true or false; the default if the field is missing. */
    public static boolean bool(JsonNode node, String field, boolean defaultValue) {
        if (!node.has(field)) {
            return defaultValue;
        }
        JsonNode value = node.path(field);
        if (!value.isBoolean()) {
            throw new MalformedFieldException(field, "true or false");
        }
        return value.booleanValue();
    }

    /** Returns the elements of a list; an empty list if the field is missing. */
    public static List<JsonNode> list(JsonNode node, String field) {
        return node.has(field) ? requiredList(node, field) : List.of();
    }

    /** Returns the elements of a list. */
    public static List<JsonNode> requiredList(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isArray()) {
            throw new MalformedFieldException(field, "a list");
        }
        List<JsonNode> elements = new ArrayList<>();
        value.forEach(elements::add);
        return elements;
    }

    /** Returns the elements of a list of texts; an empty list if the field is missing. */
    public static List<String> strings(JsonNode node, String field) {
        List<String> strings = new ArrayList<>();
        for (JsonNode entry : list(node, field)) {
            if (!entry.isTextual()) {
                throw new MalformedFieldException(field, "a list of strings");
            }
            strings.add(entry.textValue());
        }
        return strings;
    }
}
