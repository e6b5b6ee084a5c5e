/** Whether a change of the configuration made outcomes better or worse. */
package org.apricotgauge.decision.effect;
