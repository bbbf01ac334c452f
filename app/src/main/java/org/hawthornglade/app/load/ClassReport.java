package org.hawthornglade.app.load;

/**
 * What became of the requests of one class.
 *
 * @param sent how many were sent
 * @param wholeAndOnTime how many were answered whole by their deadline
 */
record ClassReport(int sent, int wholeAndOnTime) {
    ClassReport plus(FlowReport flow) {
        return new ClassReport(sent + flow.sent(), wholeAndOnTime + flow.onTime());
    }
}
