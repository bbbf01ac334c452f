/** A stand-in for a plain service. */
package org.hawthornglade.standin.service;
