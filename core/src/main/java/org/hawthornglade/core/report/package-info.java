/** What entries and agents tell each other: demand one way, replicas the other. */
package org.hawthornglade.core.report;
