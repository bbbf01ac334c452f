package org.hawthornglade.app.load;

/**
 * A request that is due to be sent.
 *
 * @param dueNanos when, in nanoseconds from the start of the run
 * @param flow the flow's place in the settings
 * @param sequence counts the flow's requests from 0
 * @param model the model's place in the flow; 0 if it has none
 * @param measured whether it is due after the warm-up
 */
record Arrival(long dueNanos, int flow, int sequence, int model, boolean measured) {}
