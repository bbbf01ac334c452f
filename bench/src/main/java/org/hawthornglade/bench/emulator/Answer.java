package org.hawthornglade.bench.emulator;

import java.util.OptionalDouble;

/**
 * The head of an emulated endpoint's answer.
 *
 * @param ran whether the request was run
 * @param leaving whether the endpoint says that it leaves
 * @param pauseMs for how long it wants nothing; 0 if it does not say so
 * @param limitPerSecond the requests a second that it takes from all entries, where it says so
 * @param workMs how long the rest of the answer takes
 */
record Answer(boolean ran, boolean leaving, long pauseMs, OptionalDouble limitPerSecond, long workMs) {}
