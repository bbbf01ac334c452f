package org.hawthornglade.core.notice;

import java.util.OptionalDouble;

/**
 * The newest word of an endpoint on the requests a second that it takes from all entries together.
 *
 * <p>Answers arrive out of order. Of two whose order is not known the stricter one holds, until a request that is sent
 * later is answered.
 */
public final class LimitNotice {
    private LimitWord word = LimitWord.NONE;

    /**
     * Takes what an answer says, or does not say.
     *
     * @return whether another limit holds now
     */
    public boolean take(LimitWord newer) {
        LimitWord before = word;
        if (newer.surelyAfter(word) || (!word.surelyAfter(newer) && newer.stricterThan(word))) {
            word = newer;
        }
        return !word.sameLimit(before);
    }

    /** Returns the word that holds. */
    public LimitWord word() {
        return word;
    }

    /** Returns the requests a second that the endpoint takes; nothing if it has named no limit. */
    public OptionalDouble perSecond() {
        return word.perSecond();
    }
}
