/** The configuration of the serving path as an immutable version: routes, services, models and limits. */
package org.hawthornglade.core.serving;
