package org.hawthornglade.core.replica;

import org.hawthornglade.core.id.ModelName;

/**
 * A load from the weight store.
 *
 * @param model the model
 * @param begunAtMs when its order was accepted
 * @param nominalMs how long it takes while the store serves it at full speed
 */
record RemoteLoad(ModelName model, long begunAtMs, long nominalMs) {
    /** Returns how many times its nominal time a load takes that has ended now. */
    double slowdown(long nowMs) {
        return (double) (nowMs - begunAtMs) / Math.max(1, nominalMs);
    }
}
