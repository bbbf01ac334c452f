package org.hawthornglade.gateway.http;

import java.util.Queue;

/** Records the causes for which connections are closed and requests are refused. */
record RecordedPressure(Queue<String> causes) implements CallerPressureListener {
    @Override
    public void onClosed(String cause, long held, long limit) {
        causes.add(cause);
    }

    @Override
    public void onRefused(String cause, int status, long limit) {
        causes.add(cause + " " + status);
    }
}
