package umberrun;

import java.util.Arrays;
import umberrun.config.Config;
import umberrun.config.Config.BadConfig;

/**
 * The command line: {@code serve} is a real front end, {@code benchlink} the same decisions on the simulator's wire,
 * and {@code rehearse} a start that ends at once, for the build.
 */
public final class Main {
  private Main() { }

  /** Ends with 2 on wrong usage or a configuration that can't be served. */
  public static void main(String[] args) {
    if (args.length == 1 && (args[0].equals("serve") || args[0].equals("rehearse"))) {
      try {
        Config config = Config.read(System.getenv());
        if (args[0].equals("serve")) {
          Server.serve(config, System.getenv());
        } else {
          Server.rehearse(config);
        }
      } catch (BadConfig | IllegalArgumentException e) {
        System.err.println("umberrun: " + e.getMessage());
        System.exit(2);
      }
    } else if (Arrays.equals(args, new String[] {"benchlink"})) {
      saddlestall.benchlink.Main.main(args);
    } else {
      System.err.println("usage: java -jar umberrun.jar serve | benchlink | rehearse");
      System.exit(2);
    }
  }
}
