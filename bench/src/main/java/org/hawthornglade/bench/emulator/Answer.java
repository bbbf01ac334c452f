package org.hawthornglade.bench.emulator;

import java.util.OptionalDouble;

/**
 * The head of an emulated endpoint's answer.
 *
 * @param ran whether the request was run
 * @param leaving whether the endpoint announces that it is leaving
 * @param pauseMs the retry-after pause that it announces, in milliseconds; 0 if none
 * @param limitPerSecond the advertised limit for all entries together, in requests per second; empty if none
 * @param workMs the time from the head to the end of the answer, in milliseconds
 */
record Answer(boolean ran, boolean leaving, long pauseMs, OptionalDouble limitPerSecond, long workMs) {}
