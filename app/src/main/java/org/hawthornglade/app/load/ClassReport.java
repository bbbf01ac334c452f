package org.hawthornglade.app.load;

/**
 * Outcome of the requests of one service class.
 *
 * @param sent number of requests sent
 * @param wholeAndOnTime number of complete responses within the deadline
 */
record ClassReport(int sent, int wholeAndOnTime) {
    ClassReport plus(FlowReport flow) {
        return new ClassReport(sent + flow.sent(), wholeAndOnTime + flow.onTime());
    }
}
