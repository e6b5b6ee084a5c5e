/** Stand-ins of the outside world for tests, measurements and the demonstration. */
package org.apricotgauge.standin;
