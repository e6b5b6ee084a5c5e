/**
 * Stand-ins for the world around the fleet, for tests and the demonstration: the platform's
 * service, targets with gray faults, the older routing system, and callers.
 */
package org.apricotgauge.standin;
