package umberrun;

import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.Test;
import umberrun.Processes.Node;

/**
 * The memory of both processes during an upgrade, with slow readers, long answers and clients that
 * send garbage. The configured limit applies to both together; shared pages count once.
 */
public class UpgradeMemoryIT {
  private static final long LIMIT_KB = 192 << 10;
  private static final int LONG_ANSWER_BYTES = 230_000;
  private static final int SLOW_READERS = 8;
  private static final int SILENT_CLIENTS = 150;
  private static final int UPGRADES = 3;

  private final List<Socket> open = new ArrayList<>();
  private volatile boolean finished;

  @Test
  public void bothProcessesStayWithinTheLimit() throws Exception {
    try (Processes fleet = new Processes(1, 6, null)) {
      Node node = fleet.nodes.get(0);
      fleet.workers.forEach(w -> w.answerBody = "x".repeat(LONG_ANSWER_BYTES));
      for (int i = 0; i < 4; i++) {
        fleet.addClients();
      }
      // Each upgrade closes the connections of the node's clients.
      node.disturbed = true;
      for (int i = 0; i < SLOW_READERS; i++) {
        int number = i;
        Scenario.daemon(() -> readSlowly(fleet, node, number));
      }
      Scenario.daemon(() -> sendGarbage(node));
      AtomicLong peak = new AtomicLong();
      Thread meter = Scenario.daemon(() -> measure(node, peak));
      for (int i = 0; i < UPGRADES; i++) {
        int served = fleet.served.get();
        Processes.await("too few calls", 20, () -> fleet.served.get() > served + 1_000);
        node.upgrade();
      }
      finished = true;
      meter.join();
      System.err.println(
          "peak of both processes: " + peak.get() / 1_024 + " MB, calls served: " + fleet.served);
      assertTrue(peak.get() + " KB", peak.get() < LIMIT_KB);
    } finally {
      for (Socket s : open) {
        s.close();
      }
    }
  }

  /** Requests long answers and reads about a megabyte per second of them. */
  private void readSlowly(Processes fleet, Node node, int number) throws IOException {
    long rid = (1_000L + number) * 1_000_000;
    while (!finished) {
      try (Socket s = new Socket()) {
        s.setReceiveBufferSize(16 << 10);
        s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), node.rpcPort));
        s.setSoTimeout(2_000);
        byte[] chunk = new byte[20_000];
        InputStream in = s.getInputStream();
        for (int id = 1; id <= 30; id++) {
          s.getOutputStream().write(fleet.request(id, rid++));
        }
        while (!finished && in.read(chunk) > 0) {
          Thread.sleep(20);
        }
      } catch (IOException e) {
        // The front end closed the connection, or all answers were read.
        pause();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Opens connections that each announce a huge message and send random bytes. */
  private void sendGarbage(Node node) throws IOException {
    Random random = new Random(1);
    while (!finished) {
      try {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), node.rpcPort);
        open.add(s);
        if (open.size() > SILENT_CLIENTS) {
          open.remove(0).close();
        }
        byte[] noise = new byte[64 << 10];
        random.nextBytes(noise);
        // MessagePack bin32: announces a binary value whose random 32-bit length follows.
        noise[0] = (byte) 0xc6;
        s.getOutputStream().write(noise);
      } catch (IOException e) {
        pause();
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(20);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Records the peak of the summed memory of the node's processes. */
  private void measure(Node node, AtomicLong peak) {
    while (!finished) {
      long sum =
          ProcessHandle.current()
              .descendants()
              .filter(process -> isFrontEnd(process, node))
              .mapToLong(process -> proportionalKb(process.pid()))
              .sum();
      peak.accumulateAndGet(sum, Math::max);
      pause();
    }
  }

  /** Whether a process belongs to the node, which its command line shows by the node's folder. */
  private static boolean isFrontEnd(ProcessHandle process, Node node) {
    return process.info().commandLine().orElse("").contains("java.io.tmpdir=" + node.folder);
  }

  /** The proportional set size of a process in kilobytes; 0 if it has ended. */
  private static long proportionalKb(long pid) {
    try {
      return Files.readAllLines(Path.of("/proc/" + pid + "/smaps_rollup")).stream()
          .filter(line -> line.startsWith("Pss:"))
          .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
          .sum();
    } catch (NoSuchFileException e) {
      // The process has ended.
      return 0;
    } catch (IOException e) {
      // The process is ending.
      return 0;
    }
  }
}
