/**
 * The typed configuration of a site: services, targets, routes, members, VMs, and their limits.
 *
 * <p>Everything here is an immutable value without I/O, clocks or threads.
 */
package org.apricotgauge.model;
