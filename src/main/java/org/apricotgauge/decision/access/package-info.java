/** Who may ask: which member a request comes from, and whether it may come at all. */
package org.apricotgauge.decision.access;
