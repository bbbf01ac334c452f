package org.hawthornglade.standin.service;

import org.hawthornglade.standin.StandinSettings;
import org.hawthornglade.standin.fault.FaultScript;

/**
 * Settings of a plain service.
 *
 * @param name the unique name of the stand-in
 * @param port the port to listen on; 0 selects a free one
 * @param delayMs the duration of a call, in milliseconds
 * @param faults the initial faults; null for none
 */
public record PlainServiceSettings(String name, int port, int delayMs, FaultScript faults) implements StandinSettings {}
