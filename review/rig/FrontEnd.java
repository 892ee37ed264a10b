import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the program, started with the command {@code run} of the deploy file. */
final class FrontEnd {
  final Process process;
  final int door;

  private FrontEnd(Process process, int door) {
    this.process = process;
    this.door = door;
  }

  /**
   * @param root of the repository
   * @param door port of the operators' address
   */
  static FrontEnd start(Path root, Path config, Path operatorFile, Path tmp, int door, Path log)
      throws IOException {
    String deploy = Files.readString(root.resolve("deploy/balancer.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(deploy);
    if (!run.find()) {
      throw new IOException("the deploy file has no command run");
    }
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
    builder.directory(root.toFile());
    Map<String, String> env = builder.environment();
    env.put("EDGE_CONFIG", config.toString());
    env.put("TMPDIR", tmp.toString());
    if (door > 0) {
      env.put("EDGE_OPERATOR", "127.0.0.1:" + door);
    }
    if (operatorFile != null) {
      env.put("UMBERRUN_OPERATOR", operatorFile.toString());
    }
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
    return new FrontEnd(builder.start(), door);
  }

  /** Whether the operators' address says that this process is ready. */
  boolean isReady() {
    try {
      return Http.call(door, "GET", "/v1/readyz", Map.of(), new byte[0], 1_000).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean awaitReady(long millis) throws InterruptedException {
    long end = System.currentTimeMillis() + millis;
    while (System.currentTimeMillis() < end && process.isAlive()) {
      if (isReady()) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Ends the process if it still runs. */
  void kill() {
    try {
      process.destroyForcibly();
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
