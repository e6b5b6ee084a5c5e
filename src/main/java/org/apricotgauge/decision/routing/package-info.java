/** Routing of requests: choice of the route, the service and the target. */
package org.apricotgauge.decision.routing;
