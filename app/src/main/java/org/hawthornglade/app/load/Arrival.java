package org.hawthornglade.app.load;

/**
 * A request that is due to be sent.
 *
 * @param dueNanos when the request is due, in nanoseconds from the start of the run
 * @param flow index of the flow in the settings
 * @param sequence number of the request in its flow, from 0
 * @param model index of the model in the models of the flow; 0 if the flow has none
 * @param measured whether the request is due after the warm-up and included in the statistics
 */
record Arrival(long dueNanos, int flow, int sequence, int model, boolean measured) {}
