/** The configuration that operators confirm: which models and services are served, for whom and within which budget. */
package org.hawthornglade.core.config;
