package org.hawthornglade.core.id;

/**
 * The version of the software that an instance runs, apart from the versions of weights and of the configuration.
 *
 * <p>Versions have no order. A stream that one version has begun cannot go on at another one.
 *
 * @param value the text that the instance states; empty if it states none that can be used
 */
public record SoftwareVersion(String value) implements Comparable<SoftwareVersion> {
    /** The version of an instance that states none; it is not compatible with any, not even with itself. */
    public static final SoftwareVersion UNKNOWN = new SoftwareVersion("");

    /** Maximum length of a version, in characters. */
    private static final int MAX_LENGTH = 128;

    /** Returns the version with the given text, or {@link #UNKNOWN} if it is empty or too long. */
    public static SoftwareVersion of(String value) {
        return value.isEmpty() || value.length() > MAX_LENGTH ? UNKNOWN : new SoftwareVersion(value);
    }

    /** Returns whether the instance has stated its version. */
    public boolean known() {
        return !value.isEmpty();
    }

    /** Returns whether a stream that this version has begun can go on at the other one. */
    public boolean compatibleWith(SoftwareVersion other) {
        return known() && equals(other);
    }

    @Override
    public int compareTo(SoftwareVersion other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return known() ? value : "unknown";
    }
}
