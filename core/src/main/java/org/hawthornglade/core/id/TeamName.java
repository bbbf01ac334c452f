package org.hawthornglade.core.id;

/**
 * The name of a team, which owns keys and has a quota.
 *
 * @param value 1 to 128 characters: letters, digits and {@code . _ - : /}
 */
public record TeamName(String value) implements Comparable<TeamName> {
    /** Validates the value. */
    public TeamName {
        Ids.check("team name", value);
    }

    /**
     * Creates a name from its text.
     *
     * @throws IllegalArgumentException if the text is not a valid team name
     */
    public static TeamName of(String value) {
        return new TeamName(value);
    }

    @Override
    public int compareTo(TeamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
