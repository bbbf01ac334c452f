package org.hawthornglade.gateway.memory;

/** A connection that reads a body, as the budget of all bodies sees it. */
public interface BodyReader {
    /** Reads on, since memory is available again. */
    void readOn();

    /** Refuses the request, since it has waited too long; must release its reservation. */
    void refuseOverdue();
}
