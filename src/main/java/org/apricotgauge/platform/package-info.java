/** The platform: the read-only service that publishes the log of patches and the list of VMs. */
package org.apricotgauge.platform;
