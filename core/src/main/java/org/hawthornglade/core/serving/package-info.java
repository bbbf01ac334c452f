/** What operators declared for the serving path: routes, services, models and limits, as one immutable version. */
package org.hawthornglade.core.serving;
