/**
 * A small HTTP/1.1 client for proxying, on Jetty's parser, connector and end points.
 *
 * <p>It does what a hop of the fleet needs and nothing else: no redirects, cookies, authentication
 * or decoding. A request passes through few methods, which matters to nodes that serve only some
 * hundred requests between a start and the next: there most of the processor time goes into running
 * code for the first time.
 */
package org.apricotgauge.http.client;
