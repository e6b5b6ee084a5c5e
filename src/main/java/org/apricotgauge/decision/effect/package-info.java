/** Decides whether a change of the configuration improved or worsened outcomes. */
package org.apricotgauge.decision.effect;
