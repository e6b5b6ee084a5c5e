/** Estimates whether a target is in a short gray-failure episode from its requests' outcomes. */
package org.apricotgauge.decision.health;
