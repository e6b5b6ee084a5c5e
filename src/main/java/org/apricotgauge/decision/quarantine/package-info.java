/** Requests that crash the targets that run them: how they are recognised and kept away. */
package org.apricotgauge.decision.quarantine;
