package umberrun;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Arrays;
import umberrun.cli.Commands;
import umberrun.config.Config.InvalidConfig;

/**
 * The command line: {@code serve} is a real front end, {@code benchlink} the same decisions on the
 * simulator's wire.
 */
public final class Main {
  private Main() {}

  /** Ends with 2 on wrong usage or a configuration that can't be served. */
  public static void main(String[] args) {
    if (Arrays.equals(args, new String[] {"serve"})) {
      quietLibraries();
      try {
        Server.serve(System.getenv());
      } catch (InvalidConfig | IllegalArgumentException e) {
        System.err.println("umberrun: " + e.getMessage());
        System.exit(2);
      }
    } else if (Arrays.equals(args, new String[] {"benchlink"})) {
      saddlestall.benchlink.Main.main(args);
    } else {
      System.exit(Commands.run(args));
    }
  }

  /**
   * Has the libraries log by what the JDK brings. Guards start and memory: they would load SLF4J
   * and what is behind it, which is there for the parts that write structured lines. To be called
   * before any class of theirs is used.
   */
  static void quietLibraries() {
    System.setProperty(
        "vertx.logger-delegate-factory-class-name", "io.vertx.core.logging.JULLogDelegateFactory");
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
  }
}
