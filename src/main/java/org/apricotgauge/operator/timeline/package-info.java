/** The program that merges the events of all nodes into one causally consistent order. */
package org.apricotgauge.operator.timeline;
