package org.hawthornglade.core.fleet;

/**
 * Whether an instance may have started again since its record was written.
 *
 * <p>A connection that was lost or could not be opened is a sign that the process has ended. The next one may run other
 * software, which the list shows only later.
 */
public final class StartDoubt {
    private long signs;
    private long settledSigns;

    /** Records a sign that the process of the instance has ended. */
    public void onSign() {
        signs++;
    }

    /** Returns the number of signs so far, to be passed to {@link #onConfirmed}. */
    public long signs() {
        return signs;
    }

    /**
     * Records that the instance still runs since the start that its record names.
     *
     * @param signsWhenAsked the number of signs when the instance was asked
     */
    public void onConfirmed(long signsWhenAsked) {
        settledSigns = Math.max(settledSigns, signsWhenAsked);
    }

    /** Returns whether the instance may have started again. */
    public boolean present() {
        return signs > settledSigns;
    }
}
