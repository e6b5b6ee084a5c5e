/**
 * A discrete-event simulation of one pool of targets under gray faults, for the ejection policies.
 *
 * <p>One seed gives one course of events; there is no socket, clock or sleep in it.
 */
package org.apricotgauge.bench.policy;
