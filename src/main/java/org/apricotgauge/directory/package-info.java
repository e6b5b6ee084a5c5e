/**
 * The service registry of a site as read from its platform: the configuration, and the targets that
 * register themselves.
 *
 * <p>The decisions here are pure; only {@link org.apricotgauge.directory.DirectoryFeed} has timers.
 */
package org.apricotgauge.directory;
