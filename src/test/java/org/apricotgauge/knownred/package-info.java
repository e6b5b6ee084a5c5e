/** Tests that fail for a fault that is known and not mended yet. */
package org.apricotgauge.knownred;
