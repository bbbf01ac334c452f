package org.hawthornglade.core.team;

import org.hawthornglade.core.id.TeamName;

/**
 * Two teams of one configuration that list the same key.
 *
 * @param holder the first of them, to which the key belongs
 * @param other the team whose calls with this key count as the holder's
 */
public record SharedKey(TeamName holder, TeamName other) {}
