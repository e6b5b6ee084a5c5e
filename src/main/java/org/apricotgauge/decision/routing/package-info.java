/** Which service answers a request, and which of its targets gets it. */
package org.apricotgauge.decision.routing;
