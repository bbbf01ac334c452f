package org.hawthornglade.standin.service;

import org.hawthornglade.standin.StandinSettings;
import org.hawthornglade.standin.fault.FaultScript;

/**
 * Settings of a plain service.
 *
 * @param name tells it apart
 * @param port where it listens; 0 picks a free one
 * @param delayMs how long it takes over a call, in milliseconds
 * @param faults the faults to start with; null for none
 */
public record PlainServiceSettings(String name, int port, int delayMs, FaultScript faults) implements StandinSettings {}
