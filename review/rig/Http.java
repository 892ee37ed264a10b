import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 request on a connection of its own. */
final class Http {
  record Answer(int status, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }
  }

  private Http() {}

  /** Sends a request; an IOException means that the connection ended without a whole answer. */
  static Answer call(
      int port, String method, String path, Map<String, String> headers, byte[] body, int timeoutMillis)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMillis);
      send(socket, method, path, headers, body);
      return answer(new BufferedInputStream(socket.getInputStream()));
    }
  }

  static void send(Socket socket, String method, String path, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head =
        new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    socket.getOutputStream().write(out.toByteArray());
  }

  static Answer answer(InputStream in) throws IOException {
    String status = line(in);
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line; !(line = line(in)).isEmpty(); ) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("the answer is cut off");
    }
    return new Answer(Integer.parseInt(status.split(" ")[1]), headers, body);
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c; (c = in.read()) != '\n'; ) {
      if (c < 0) {
        throw new EOFException("the connection ended without an answer");
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }
}
