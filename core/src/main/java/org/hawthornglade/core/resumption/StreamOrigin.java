package org.hawthornglade.core.resumption;

import org.hawthornglade.core.id.ServiceName;
import org.hawthornglade.core.id.SoftwareVersion;

/**
 * Where the first event of a stream was written.
 *
 * @param service the service that wrote it
 * @param version the version of its software
 */
public record StreamOrigin(ServiceName service, SoftwareVersion version) {}
