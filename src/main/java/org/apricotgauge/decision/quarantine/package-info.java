/** Identifies requests that crash the targets running them, and quarantines them. */
package org.apricotgauge.decision.quarantine;
